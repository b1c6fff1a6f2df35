/** Decoder of session tokens. */
package io.hickorydrift.core.session.decoder;
