package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.util.Optional;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;

/**
 * Whether the request of a call could not be written in full. OkHttp then still reads a response, since a server may
 * reject a request before it has read all of it, but reports the reset of the connection to the writer only.
 */
final class WriteFailure extends EventListener {
    private volatile boolean occurred;

    /** Returns the request with a tag in which the failure of its call is recorded. */
    static Request recordedFor(Request request) {
        return request.newBuilder().tag(WriteFailure.class, new WriteFailure()).build();
    }

    /** Returns the listener that records the failure of a call. */
    static EventListener listenerOf(Call call) {
        return Optional.<EventListener>ofNullable(call.request().tag(WriteFailure.class))
                .orElse(EventListener.NONE);
    }

    static boolean hasOccurred(Request request) {
        WriteFailure failure = request.tag(WriteFailure.class);
        return failure != null && failure.occurred;
    }

    @Override
    public void requestFailed(Call call, IOException cause) {
        occurred = true;
    }
}
