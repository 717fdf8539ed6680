package org.acaciapond.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.acaciapond.mesh.platform.SidecarSettings;

/**
 * Limits that keep a process within its heap, its memory and its descriptors.
 *
 * @param heldBytes largest number of bytes of bodies held at once
 * @param maxBodyBytes longest body of a request
 * @param maxClientConnections largest number of connections of clients
 */
record ProcessLimits(long heldBytes, int maxBodyBytes, int maxClientConnections) {

  private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";
  private static final int DEFAULT_OPEN_FILES = 1_024;
  // The rest of the heap is for the objects at rest and for copies of one long body.
  private static final int HEAP_TO_HELD_PERCENT = 37;
  private static final int MEMORY_TO_HELD_RATIO = 8;
  private static final int HEAP_TO_BODY_RATIO = 8;
  private static final int MEMORY_TO_BODY_RATIO = 16;
  // The other half is for connections of nodes and targets, and for files.
  private static final int OPEN_FILES_TO_CONNECTIONS_RATIO = 2;
  private static final int HEAP_BYTES_PER_CONNECTION = 32 << 10;

  /** Computes the limits of this process. */
  static ProcessLimits of(SidecarSettings settings) {
    return of(settings, Runtime.getRuntime().maxMemory(), openFiles(settings.maxOpenFiles()));
  }

  /**
   * Computes the limits of a process.
   *
   * @param settings settings of the node
   * @param heapBytes maximum size of the heap
   * @param openFiles maximum number of open descriptors
   */
  static ProcessLimits of(SidecarSettings settings, long heapBytes, int openFiles) {
    long memoryBytes = (long) settings.memoryMb() << 20;
    return new ProcessLimits(
        Math.min(memoryBytes / MEMORY_TO_HELD_RATIO, heapBytes / 100 * HEAP_TO_HELD_PERCENT),
        (int) Math.min(memoryBytes / MEMORY_TO_BODY_RATIO, heapBytes / HEAP_TO_BODY_RATIO),
        (int)
            Math.min(
                openFiles / OPEN_FILES_TO_CONNECTIONS_RATIO,
                heapBytes / HEAP_BYTES_PER_CONNECTION));
  }

  // The platform may allow fewer descriptors than the system does.
  private static int openFiles(int setting) {
    int ofSystem = openFilesOfSystem();
    return setting > 0 ? Math.min(setting, ofSystem) : ofSystem;
  }

  private static int openFilesOfSystem() {
    try {
      List<String> lines = Files.readAllLines(LIMITS_FILE);
      for (String line : lines) {
        if (line.startsWith(OPEN_FILES)) {
          String soft = line.substring(OPEN_FILES.length()).trim().split("\\s+")[0];
          return soft.equals("unlimited") ? Integer.MAX_VALUE : Integer.parseInt(soft);
        }
      }
    } catch (IOException | NumberFormatException e) {
      return DEFAULT_OPEN_FILES;
    }
    return DEFAULT_OPEN_FILES;
  }
}
