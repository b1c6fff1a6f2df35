/** Encoder of session tokens. */
package io.hickorydrift.core.session.encoder;
