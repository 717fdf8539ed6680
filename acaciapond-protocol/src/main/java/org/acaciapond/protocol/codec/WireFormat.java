package org.acaciapond.protocol.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.config.version.ServiceSlice;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encoding of values shared by the messages of configuration distribution. */
final class WireFormat {

  private static final int MAX_ITEMS = 100_000;
  private static final int MAX_DIGEST_BYTES = 64;
  private static final int MAX_SLICE_BYTES = 1024 * 1024;

  private WireFormat() {}

  static void packVersion(ConfigVersion version, MessagePacker packer) throws IOException {
    packer.packLong(version.epoch());
    packer.packLong(version.sequence());
    packHex(version.digest(), packer);
  }

  static ConfigVersion unpackVersion(MessageUnpacker unpacker) throws IOException {
    return new ConfigVersion(unpacker.unpackLong(), unpacker.unpackLong(), unpackHex(unpacker));
  }

  /** Packs a hexadecimal digest as bytes, which halves its size. */
  static void packHex(String hex, MessagePacker packer) throws IOException {
    byte[] bytes = HexFormat.of().parseHex(hex);
    packer.packBinaryHeader(bytes.length);
    packer.writePayload(bytes);
  }

  static String unpackHex(MessageUnpacker unpacker) throws IOException {
    return HexFormat.of().formatHex(unpackBytes(unpacker, MAX_DIGEST_BYTES));
  }

  private static byte[] unpackBytes(MessageUnpacker unpacker, int maxBytes) throws IOException {
    int length = unpacker.unpackBinaryHeader();
    if (length > maxBytes) {
      throw new IOException("too many bytes: " + length);
    }
    return unpacker.readPayload(length);
  }

  static void packNames(Set<String> names, MessagePacker packer) throws IOException {
    packer.packArrayHeader(names.size());
    for (String name : names) {
      packer.packString(name);
    }
  }

  static Set<String> unpackNames(MessageUnpacker unpacker) throws IOException {
    int count = unpackCount(unpacker);
    Set<String> names = new HashSet<>();
    for (int i = 0; i < count; i++) {
      names.add(unpacker.unpackString());
    }
    return names;
  }

  static void packSlices(List<ServiceSlice> slices, MessagePacker packer) throws IOException {
    packer.packArrayHeader(slices.size());
    for (ServiceSlice slice : slices) {
      packer.packString(slice.service());
      packHex(slice.digest(), packer);
      packer.packBinaryHeader(slice.bytes().length);
      packer.writePayload(slice.bytes());
    }
  }

  static List<ServiceSlice> unpackSlices(MessageUnpacker unpacker) throws IOException {
    int count = unpackCount(unpacker);
    List<ServiceSlice> slices = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      slices.add(
          new ServiceSlice(
              unpacker.unpackString(),
              unpackHex(unpacker),
              unpackBytes(unpacker, MAX_SLICE_BYTES)));
    }
    return slices;
  }

  private static int unpackCount(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_ITEMS) {
      throw new IOException("too many items: " + count);
    }
    return count;
  }
}
