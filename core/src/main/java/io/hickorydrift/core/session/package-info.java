/** What a session has to see, and the token that carries it. */
package io.hickorydrift.core.session;
