/**
 * Non-blocking HTTP/1.1 client that runs on an event loop. Connections are kept alive and carry one request at a time;
 * the client never retries a request on its own.
 *
 * <p>Start with {@link org.ibissaddle.daemon.http.HttpClient}.
 */
package org.ibissaddle.daemon.http;
