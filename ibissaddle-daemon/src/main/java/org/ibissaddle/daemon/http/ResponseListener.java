package org.ibissaddle.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of one response on the event loop. No method is called after {@link #onComplete} or
 * {@link #onFailure}.
 */
public interface ResponseListener {
    /**
     * Returns whether the request may still be written. Called when its connection has been opened.
     *
     * @return false to cancel the call
     */
    default boolean isStillWanted() {
        return true;
    }

    /**
     * Called when the status line and headers have been received.
     *
     * @param head the status line and headers
     */
    void onResponseHead(HttpResponse head);

    /**
     * Called for each part of the response body.
     *
     * @param content the bytes, valid only until this method returns
     */
    void onContent(ByteBuf content);

    /**
     * Called before {@link #onComplete} if another response to the same request follows the body of a response that has
     * no length. It is discarded.
     */
    default void onSecondResponse() {}

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the call has failed.
     *
     * @param failure the cause
     */
    void onFailure(CallFailure failure);
}
