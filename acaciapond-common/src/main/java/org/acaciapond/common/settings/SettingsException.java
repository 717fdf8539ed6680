package org.acaciapond.common.settings;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Error of loading settings. */
public final class SettingsException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public SettingsException(SettingsErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
