package org.acaciapond.config.version;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.acaciapond.config.model.ServiceConfig;

/** Codec that encodes edits and slices as canonical JSON and computes their digests. */
public final class ConfigCodec {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .addModule(new JavaTimeModule())
          .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private ConfigCodec() {}

  /** Returns the JSON mapper that all encodings of the configuration share. */
  public static JsonMapper mapper() {
    return MAPPER;
  }

  /** Encodes a service as a slice. */
  public static ServiceSlice slice(ServiceConfig service) {
    byte[] bytes = encode(service);
    return new ServiceSlice(service.name(), digest(bytes), bytes);
  }

  /** Decodes a slice; throws {@link ConfigException} when digest or name do not match. */
  public static ServiceConfig decodeSlice(ServiceSlice slice) {
    if (!digest(slice.bytes()).equals(slice.digest())) {
      throw new ConfigException(
          ConfigErrorCode.DIGEST_MISMATCH,
          "digest does not match the slice of service " + slice.service(),
          null);
    }
    ServiceConfig service = decode(slice.bytes(), ServiceConfig.class);
    if (!service.name().equals(slice.service())) {
      throw new ConfigException(
          ConfigErrorCode.DIGEST_MISMATCH,
          "slice of service " + slice.service() + " names another",
          null);
    }
    return service;
  }

  /** Encodes an edit as an object of the object store. */
  public static byte[] encodeEdit(ConfigEdit edit) {
    return encode(edit);
  }

  /** Decodes an edit object. */
  public static ConfigEdit decodeEdit(byte[] bytes) {
    return decode(bytes, ConfigEdit.class);
  }

  /** Returns the SHA-256 digest of the bytes, in hexadecimal. */
  public static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  private static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsString(value).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new ConfigException(ConfigErrorCode.NOT_ENCODABLE, value.getClass().getName(), e);
    }
  }

  private static <T> T decode(byte[] bytes, Class<T> type) {
    try {
      T value = MAPPER.readValue(bytes, type);
      if (value == null) {
        throw new ConfigException(
            ConfigErrorCode.NOT_DECODABLE, type.getSimpleName() + " is null", null);
      }
      return value;
    } catch (IOException e) {
      throw new ConfigException(ConfigErrorCode.NOT_DECODABLE, type.getSimpleName(), e);
    }
  }
}
