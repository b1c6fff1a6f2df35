/** HTTP server with JSON bodies for the stand-ins. */
package io.hickorydrift.standin.http;
