package org.acaciapond.common.settings;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the settings layer. */
public enum SettingsErrorCode implements ErrorCode {
  /** The file cannot be read or is not a JSON object. */
  SETTINGS_UNREADABLE,
  /** At least one setting is missing, unknown or breaks its constraint. */
  SETTINGS_INVALID
}
