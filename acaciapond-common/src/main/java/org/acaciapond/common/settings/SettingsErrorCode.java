package org.acaciapond.common.settings;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of loading settings. */
public enum SettingsErrorCode implements ErrorCode {
  /** The file cannot be read or is not a JSON object. */
  SETTINGS_UNREADABLE,
  /** At least one setting is missing, unknown or violates its constraint. */
  SETTINGS_INVALID
}
