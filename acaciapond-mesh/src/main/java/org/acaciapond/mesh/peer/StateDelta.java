package org.acaciapond.mesh.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.zip.CRC32;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;
import org.jspecify.annotations.Nullable;

/**
 * Codec of the difference between two values. A delta is a compressed sequence of literal bytes and
 * copies of ranges of the base value; a delta to an empty base is the whole value, compressed.
 */
public final class StateDelta {

  private static final int MAX_VALUE_BYTES = 8 << 20;

  private StateDelta() {}

  /** Encodes the difference of a value from its base. */
  public static byte[] encode(byte[] base, byte[] value) {
    ByteArrayOutputStream encoded = new ByteArrayOutputStream();
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DataOutputStream out = new DataOutputStream(new DeflaterOutputStream(encoded, deflater))) {
      out.writeInt(value.length);
      out.writeInt(checksum(value));
      writeOperations(out, base, value);
    } catch (IOException e) {
      throw new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "delta cannot be encoded", e);
    } finally {
      deflater.end();
    }
    return encoded.toByteArray();
  }

  private static void writeOperations(DataOutputStream out, byte[] base, byte[] value)
      throws IOException {
    BlockIndex index = new BlockIndex(base);
    int literalFrom = 0;
    int position = 0;
    while (position + BlockIndex.BLOCK_BYTES <= value.length) {
      BlockIndex.Match match = index.longestMatch(value, position, literalFrom);
      if (match == null) {
        position++;
      } else {
        writeOperation(out, value, literalFrom, match);
        position = match.valueFrom() + match.length();
        literalFrom = position;
      }
    }
    writeOperation(out, value, literalFrom, new BlockIndex.Match(value.length, 0, 0));
  }

  private static void writeOperation(
      DataOutputStream out, byte[] value, int literalFrom, BlockIndex.Match match)
      throws IOException {
    int literalBytes = match.valueFrom() - literalFrom;
    out.writeInt(literalBytes);
    out.write(value, literalFrom, literalBytes);
    out.writeInt(match.baseFrom());
    out.writeInt(match.length());
  }

  /**
   * Restores a value from its base.
   *
   * @throws PeerException if the delta is malformed or belongs to another base
   */
  public static byte[] decode(byte[] base, byte[] delta) {
    Inflater inflater = new Inflater();
    try (DataInputStream in =
        new DataInputStream(new InflaterInputStream(new ByteArrayInputStream(delta), inflater))) {
      int length = in.readInt();
      if (length < 0 || length > MAX_VALUE_BYTES) {
        throw malformed("value of " + length + " bytes", null);
      }
      int expectedChecksum = in.readInt();
      byte[] value = readOperations(in, base, length);
      if (checksum(value) != expectedChecksum) {
        throw malformed("checksum of the value differs", null);
      }
      return value;
    } catch (IOException | IndexOutOfBoundsException e) {
      throw malformed("operations cannot be read", e);
    } finally {
      inflater.end();
    }
  }

  private static byte[] readOperations(DataInputStream in, byte[] base, int length)
      throws IOException {
    byte[] value = new byte[length];
    int position = 0;
    while (position < length) {
      int literalBytes = in.readInt();
      in.readFully(value, position, literalBytes);
      position += literalBytes;
      int baseFrom = in.readInt();
      int copyBytes = in.readInt();
      if (literalBytes == 0 && copyBytes == 0) {
        throw malformed("empty operation", null);
      }
      System.arraycopy(base, baseFrom, value, position, copyBytes);
      position += copyBytes;
    }
    return value;
  }

  private static int checksum(byte[] value) {
    CRC32 checksum = new CRC32();
    checksum.update(value);
    return (int) checksum.getValue();
  }

  private static PeerException malformed(String problem, @Nullable Exception cause) {
    return new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "invalid delta: " + problem, cause);
  }
}
