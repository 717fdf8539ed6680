package org.acaciapond.protocol.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.security.spec.ECGenParameterSpec;
import java.util.Base64;

/** Generator of self-signed X.509 version 1 certificates in DER, using only the JDK. */
final class TestCertificate {

  private static final int SEQUENCE = 0x30;
  private static final int SET = 0x31;
  private static final int INTEGER = 0x02;
  private static final int BIT_STRING = 0x03;
  private static final int UTC_TIME = 0x17;
  private static final int UTF8_STRING = 0x0c;
  private static final byte[] ECDSA_SHA256 = {
    0x06, 0x08, 0x2a, (byte) 0x86, 0x48, (byte) 0xce, 0x3d, 0x04, 0x03, 0x02
  };
  private static final byte[] COMMON_NAME = {0x06, 0x03, 0x55, 0x04, 0x03};

  private TestCertificate() {}

  /** Writes a new key and self-signed certificate, which is also the trusted one. */
  static TlsFiles write(Path directory, String name) throws IOException, GeneralSecurityException {
    KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
    generator.initialize(new ECGenParameterSpec("secp256r1"));
    KeyPair pair = generator.generateKeyPair();
    Path key = directory.resolve(name + ".key");
    Path certificate = directory.resolve(name + ".crt");
    Files.writeString(key, pem("PRIVATE KEY", pair.getPrivate().getEncoded()));
    Files.writeString(certificate, pem("CERTIFICATE", certificate(pair, name)));
    return new TlsFiles(key.toString(), certificate.toString(), certificate.toString());
  }

  private static byte[] certificate(KeyPair pair, String name)
      throws IOException, GeneralSecurityException {
    byte[] algorithm = der(SEQUENCE, ECDSA_SHA256);
    byte[] text = der(UTF8_STRING, name.getBytes(StandardCharsets.UTF_8));
    byte[] subject = der(SEQUENCE, der(SET, der(SEQUENCE, COMMON_NAME, text)));
    byte[] validity = der(SEQUENCE, time("200101000000Z"), time("491231235959Z"));
    byte[] body =
        der(
            SEQUENCE,
            der(INTEGER, new byte[] {1}),
            algorithm,
            subject,
            validity,
            subject,
            pair.getPublic().getEncoded());
    Signature signature = Signature.getInstance("SHA256withECDSA");
    signature.initSign(pair.getPrivate());
    signature.update(body);
    return der(SEQUENCE, body, algorithm, der(BIT_STRING, new byte[] {0}, signature.sign()));
  }

  private static byte[] time(String text) {
    return der(UTC_TIME, text.getBytes(StandardCharsets.US_ASCII));
  }

  private static byte[] der(int tag, byte[]... parts) {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      content.writeBytes(part);
    }
    ByteArrayOutputStream result = new ByteArrayOutputStream();
    result.write(tag);
    int length = content.size();
    if (length >= 256) {
      result.write(0x82);
      result.write(length >> 8);
    } else if (length >= 128) {
      result.write(0x81);
    }
    result.write(length);
    result.writeBytes(content.toByteArray());
    return result.toByteArray();
  }

  private static String pem(String label, byte[] content) {
    return "-----BEGIN "
        + label
        + "-----\n"
        + Base64.getMimeEncoder().encodeToString(content)
        + "\n-----END "
        + label
        + "-----\n";
  }
}
