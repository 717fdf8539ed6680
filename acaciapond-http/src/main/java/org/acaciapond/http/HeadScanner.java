package org.acaciapond.http;

import io.netty.util.ByteProcessor;
import org.jspecify.annotations.Nullable;

/**
 * Check of the bytes of response heads against the grammar of RFC 9112, one byte at a time.
 *
 * <p>The decoder of the library ends the name of a field at the first blank and reads a line
 * without a colon as a name, so that such a line passes for another field, also for one that says
 * where the body ends. It also reads the text of any number as a status. A blank before the colon
 * is permitted, as the decoder removes it, and so is a line that continues the field before it.
 */
final class HeadScanner implements ByteProcessor {

  private static final int FIRST_PRINTABLE = 0x21;
  private static final int AFTER_ASCII = 0x80;
  private static final int STATUS_DIGITS = 3;
  private static final String DELIMITERS = "\"(),/:;<=>?@[\\]{}";
  private static final boolean[] TOKEN_CHARACTERS = tokenCharacters();

  private enum State {
    BEFORE_START_LINE,
    PROTOCOL,
    BLANK_BEFORE_STATUS,
    STATUS,
    REASON,
    FIRST_FIELD_LINE,
    FIELD_LINE,
    NAME,
    BLANK_AFTER_NAME,
    VALUE,
    EMPTY_LINE,
    END
  }

  private State state = State.BEFORE_START_LINE;
  private int statusDigits;
  private @Nullable ResponseErrorCode error;

  private static boolean[] tokenCharacters() {
    boolean[] characters = new boolean[AFTER_ASCII];
    for (int i = FIRST_PRINTABLE; i < AFTER_ASCII - 1; i++) {
      characters[i] = DELIMITERS.indexOf(i) < 0;
    }
    return characters;
  }

  /** Starts with the next head. */
  void reset() {
    state = State.BEFORE_START_LINE;
    statusDigits = 0;
    error = null;
  }

  /**
   * Returns what is wrong with the head, which the decoder has read to its end; null if nothing.
   */
  @Nullable ResponseErrorCode error() {
    return error == null && state != State.END ? ResponseErrorCode.FIELD_NAME_INVALID : error;
  }

  @Override
  public boolean process(byte value) {
    state = next(value);
    return true;
  }

  private State next(byte value) {
    return switch (state) {
      case BEFORE_START_LINE -> beforeStartLine(value);
      case PROTOCOL -> isBlank(value) ? State.BLANK_BEFORE_STATUS : State.PROTOCOL;
      case BLANK_BEFORE_STATUS -> isBlank(value) ? state : inStatus(value);
      case STATUS -> inStatus(value);
      case REASON -> value == '\n' ? State.FIRST_FIELD_LINE : State.REASON;
      case FIRST_FIELD_LINE -> isBlank(value) ? invalidName() : fieldLine(value);
      case FIELD_LINE -> isBlank(value) ? State.VALUE : fieldLine(value);
      case NAME -> isBlank(value) ? State.BLANK_AFTER_NAME : inName(value);
      case BLANK_AFTER_NAME -> afterName(value);
      case VALUE -> value == '\n' ? State.FIELD_LINE : State.VALUE;
      case EMPTY_LINE -> value == '\n' ? State.END : invalidName();
      case END -> invalidName();
    };
  }

  // The decoder skips the same bytes.
  private static State beforeStartLine(byte value) {
    return isBlank(value) || Character.isISOControl(value)
        ? State.BEFORE_START_LINE
        : State.PROTOCOL;
  }

  private State inStatus(byte value) {
    if (value >= '0' && value <= '9') {
      statusDigits++;
      return State.STATUS;
    }
    boolean ends = isBlank(value) || value == '\r' || value == '\n';
    if (!ends || statusDigits != STATUS_DIGITS) {
      error = ResponseErrorCode.STATUS_INVALID;
    }
    return value == '\n' ? State.FIRST_FIELD_LINE : State.REASON;
  }

  private State fieldLine(byte value) {
    return switch (value) {
      case '\r' -> State.EMPTY_LINE;
      case '\n' -> State.END;
      default -> isTokenCharacter(value) ? State.NAME : invalidName();
    };
  }

  private State inName(byte value) {
    if (value == ':') {
      return State.VALUE;
    }
    return isTokenCharacter(value) ? State.NAME : invalidName();
  }

  private State afterName(byte value) {
    if (value == ':') {
      return State.VALUE;
    }
    return isBlank(value) ? State.BLANK_AFTER_NAME : invalidName();
  }

  private State invalidName() {
    error = error == null ? ResponseErrorCode.FIELD_NAME_INVALID : error;
    return State.VALUE;
  }

  private static boolean isBlank(byte value) {
    return value == ' ' || value == '\t';
  }

  private static boolean isTokenCharacter(byte value) {
    return value >= 0 && TOKEN_CHARACTERS[value];
  }
}
