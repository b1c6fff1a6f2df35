package io.hickorydrift.proxy.net;

import java.util.Map;

/**
 * A request to an HTTP server.
 *
 * <p>Thread safety: immutable.
 *
 * @param method request method
 * @param path path and query string
 * @param headers headers besides Host, Content-Type and Content-Length
 * @param body body; empty for none
 */
public record HttpRequest(String method, String path, Map<String, String> headers, String body) {}
