/** Client accounts: their keys, ranks and rate limits. */
@NullMarked
package org.acaciapond.mesh.account;

import org.jspecify.annotations.NullMarked;
