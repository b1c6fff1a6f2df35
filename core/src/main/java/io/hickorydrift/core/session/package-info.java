/** Sessions for read-your-writes consistency, and the tokens that carry them. */
package io.hickorydrift.core.session;
