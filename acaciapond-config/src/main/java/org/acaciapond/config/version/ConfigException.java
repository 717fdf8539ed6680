package org.acaciapond.config.version;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Error of the configuration layer. */
public final class ConfigException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public ConfigException(ConfigErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
