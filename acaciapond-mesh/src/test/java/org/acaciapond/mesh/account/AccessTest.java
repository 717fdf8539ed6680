package org.acaciapond.mesh.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that are served without a valid key, or for another account. */
class AccessTest {

  private static ClientAccount account(String name, String... keys) {
    List<KeyDigest> digests = new ArrayList<>();
    for (String key : keys) {
      digests.add(KeyDigest.of(key));
    }
    return new ClientAccount(name, digests, OptionalInt.empty(), RateLimit.NONE);
  }

  @ParameterizedTest
  @CsvSource(
      nullValues = "none",
      value = {
        "key-a, true, true, a",
        "key-a2, true, true, a",
        "key-b, false, true, b",
        "key-x, true, false, none",
        "none, true, false, none",
        "key-x, false, true, none",
        "none, false, true, none",
        "shared, true, false, none"
      })
  void keyDecides(String key, boolean keyNeeded, boolean granted, String name) {
    AccountDirectory accounts =
        AccountDirectory.of(
            List.of(account("a", "key-a", "key-a2", "shared"), account("b", "key-b", "shared")));
    Access access = Access.decide(accounts, key, keyNeeded);
    ClientAccount found = access.account();
    assertEquals(granted, access.granted());
    assertEquals(name, found == null ? null : found.name());
  }

  @Test
  void requestsNeedNoKeyWithoutAccounts() {
    Access access = Access.decide(AccountDirectory.NOT_CONFIGURED, null, true);
    assertEquals(Access.WITHOUT_ACCOUNT, access);
    assertNull(access.account());
  }

  @Test
  void emptyListOfAccountsAdmitsNobody() {
    assertFalse(Access.decide(AccountDirectory.of(List.of()), "key", true).granted());
  }

  @Test
  void textFormRevealsNoKey() {
    ClientAccount account = account("a", "secret-key");
    assertFalse(account.toString().contains("secret-key"));
  }
}
