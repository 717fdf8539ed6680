package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which bodies get memory, wait, are refused or are ended when it is used up. */
class UploadQueueTest {

  private static final long LIMIT_BYTES = 6_000_000;
  private static final long LONG_BODY_LIMIT_BYTES = 5_000_000;
  private static final long MS = 1_000_000;

  private final MemoryAccount account = new MemoryAccount(LIMIT_BYTES);
  private final UploadQueue queue = new UploadQueue(account);
  private final List<String> events = new ArrayList<>();

  private UploadQueue.Upload upload(String name) {
    return new UploadQueue.Upload() {
      @Override
      public void onGranted() {
        events.add(name + " granted");
      }

      @Override
      public void onRefused() {
        events.add(name + " refused");
      }
    };
  }

  private Transfer transfer(String name, long heldBytes) {
    account.add(heldBytes);
    boolean[] ended = {false};
    Transfer transfer =
        new Transfer(
            () -> ended[0] ? 0 : heldBytes,
            () -> {
              ended[0] = true;
              events.add(name + " ended");
              account.release(heldBytes);
            });
    account.register(transfer);
    return transfer;
  }

  @Test
  void uploadsAreGrantedInTheOrderOfTheirRequests() {
    account.add(LONG_BODY_LIMIT_BYTES - 100);
    assertEquals(UploadQueue.Decision.WAITS, queue.request(upload("a"), 1_000, 0));
    // Would fit, but would overtake the first one again and again.
    assertEquals(UploadQueue.Decision.WAITS, queue.request(upload("b"), 50, 0));
    account.release(1_000);
    queue.grantWaiting();
    assertEquals(List.of("a granted", "b granted"), events);
  }

  @Test
  void uploadWithoutRoomIsRefusedInTime() {
    account.add(LONG_BODY_LIMIT_BYTES);
    queue.request(upload("a"), 1_000, 0);
    queue.check(900 * MS);
    assertEquals(List.of(), events);
    queue.check(1_001 * MS);
    assertEquals(List.of("a refused"), events);
    assertTrue(queue.isEmpty());
  }

  /** Guards against paused connections without number, each of which holds what was read. */
  @Test
  void numberOfWaitingUploadsIsBounded() {
    account.add(LONG_BODY_LIMIT_BYTES);
    UploadQueue.Decision last = UploadQueue.Decision.WAITS;
    for (int i = 0; i < 100; i++) {
      last = queue.request(upload("a"), 1_000, 0);
    }
    assertEquals(UploadQueue.Decision.REFUSED, last);
  }

  /** Guards against bodies that stop short of their end and keep their memory. */
  @Test
  void transferWithoutProgressIsEndedForOneThatWaits() {
    Transfer slow = transfer("slow", 1_000_000);
    final Transfer stalled = transfer("stalled", 1_000_000);
    final Transfer largest = transfer("largest stalled", 3_000_000);
    account.check();
    slow.moved(100_000);
    account.check();
    queue.request(upload("a"), 2_000_000, 0);
    queue.check(1);
    assertEquals(List.of("largest stalled ended", "a granted"), events);
    assertEquals(0, stalled.recentBytes() + largest.recentBytes());
  }

  /** Guards against ending a body that has only just begun, or that makes progress. */
  @Test
  void transferWithProgressIsNotEnded() {
    Transfer moving = transfer("moving", 3_000_000);
    account.check();
    moving.moved(100_000);
    account.check();
    transfer("new", 2_000_000);
    queue.request(upload("a"), 1_000_000, 0);
    queue.check(1);
    assertEquals(List.of(), events);
  }

  /** Guards against ordinary requests that are refused because long bodies hold the memory. */
  @Test
  void longBodiesLeaveRoomForOrdinaryMessages() {
    assertTrue(account.tryReserve(LONG_BODY_LIMIT_BYTES));
    assertFalse(account.tryReserve(1));
    assertTrue(account.reserveOrdinary(MemoryAccount.ORDINARY_BYTES));
  }
}
