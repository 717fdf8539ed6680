package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.File;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.sidecar.call.RetryAfter;
import org.junit.jupiter.api.Test;

/** Tests of choices that keep the start short: a restarted node serves nothing until it is up. */
class StartCostTest {

  /** Vert.x initializes data binding at each start if it finds Jackson's databind module. */
  @Test
  void jacksonDatabindIsNotOnClassPath() {
    List<String> found = new ArrayList<>();
    for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
      if (Path.of(entry).getFileName().toString().startsWith("jackson-databind")) {
        found.add(entry);
      }
    }
    assertEquals(List.of(), found);
  }

  /** The conversion by hand must give the same text as the formatter that it replaces. */
  @Test
  void retryAfterHasThreeDecimals() {
    assertEquals("0.000", RetryAfter.seconds(0));
    assertEquals("0.020", RetryAfter.seconds(20));
    assertEquals("12.345", RetryAfter.seconds(12_345));
  }
}
