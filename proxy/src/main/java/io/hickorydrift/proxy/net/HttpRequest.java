package io.hickorydrift.proxy.net;

import java.util.Map;

/**
 * A request to an HTTP server.
 *
 * <p>Thread safety: immutable.
 *
 * @param method its method
 * @param path path and query
 * @param headers further headers
 * @param body its body, empty for none
 */
public record HttpRequest(String method, String path, Map<String, String> headers, String body) {}
