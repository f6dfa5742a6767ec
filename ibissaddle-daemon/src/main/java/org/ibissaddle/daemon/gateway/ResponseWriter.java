package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes the response to the caller or instance that sent a request. */
interface ResponseWriter {
    /** Length of a response in chunked transfer encoding. */
    long CHUNKED = -1;

    /** Sends the status and headers; the length is {@link #CHUNKED} or that of the body. */
    void sendHead(HttpResponseStatus status, HttpHeaders headers, long length);

    /** Sends part of the body and takes ownership of the buffer. */
    void sendContent(ByteBuf content);

    /** Completes the response. */
    void sendEnd();

    /** Closes the connection, so that the recipient does not take an incomplete response for a complete one. */
    void abort();

    /** Whether the recipient is still connected. */
    boolean isOpen();

    /** Whether more can be sent without exceeding the write buffer. */
    boolean isWritable();
}
