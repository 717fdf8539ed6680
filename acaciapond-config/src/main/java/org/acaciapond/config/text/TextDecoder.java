package org.acaciapond.config.text;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/** Decoder of configuration text, which must be UTF-8 without a byte order mark. */
final class TextDecoder {

  private static final byte[] UTF8_BOM = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};
  private static final byte[] UTF16_BE_BOM = {(byte) 0xFE, (byte) 0xFF};
  private static final byte[] UTF16_LE_BOM = {(byte) 0xFF, (byte) 0xFE};

  private TextDecoder() {}

  static Optional<String> decode(byte[] bytes, ProblemCollector problems) {
    if (bytes.length > ConfigTextValidator.MAX_TEXT_BYTES) {
      problems.add(
          TextLocation.START,
          Rule.TEXT_TOO_LARGE,
          "the text has %d bytes; at most %d are allowed"
              .formatted(bytes.length, ConfigTextValidator.MAX_TEXT_BYTES));
      return Optional.empty();
    }
    if (startsWith(bytes, UTF16_BE_BOM) || startsWith(bytes, UTF16_LE_BOM)) {
      problems.add(
          TextLocation.START,
          Rule.BYTE_ORDER_MARK,
          "the text starts with the byte order mark of UTF-16; save it as plain UTF-8");
      return Optional.empty();
    }
    int start = 0;
    if (startsWith(bytes, UTF8_BOM)) {
      problems.add(
          TextLocation.START,
          Rule.BYTE_ORDER_MARK,
          "the text starts with a byte order mark; save it as UTF-8 without one");
      start = UTF8_BOM.length;
    }
    return decodeUtf8(ByteBuffer.wrap(bytes, start, bytes.length - start), problems);
  }

  private static Optional<String> decodeUtf8(ByteBuffer bytes, ProblemCollector problems) {
    CharsetDecoder decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPORT)
            .onUnmappableCharacter(CodingErrorAction.REPORT);
    CharBuffer chars = CharBuffer.allocate(bytes.remaining());
    CoderResult result = decoder.decode(bytes, chars, true);
    chars.flip();
    if (result.isError()) {
      problems.add(
          TextLocation.after(chars),
          Rule.NOT_UTF8,
          "byte 0x%02x at offset %d is not UTF-8"
              .formatted(bytes.get(bytes.position()), bytes.position()));
      return Optional.empty();
    }
    return Optional.of(chars.toString());
  }

  private static boolean startsWith(byte[] bytes, byte[] prefix) {
    return bytes.length >= prefix.length
        && Arrays.equals(bytes, 0, prefix.length, prefix, 0, prefix.length);
  }
}
