/** JSON over HTTP for the stand-ins. */
package io.hickorydrift.standin.http;
