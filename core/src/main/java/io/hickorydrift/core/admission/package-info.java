/** Which work is let in, repeated or refused when there is more than targets can do. */
package io.hickorydrift.core.admission;
