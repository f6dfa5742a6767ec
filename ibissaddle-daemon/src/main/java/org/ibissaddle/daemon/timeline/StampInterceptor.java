package org.ibissaddle.daemon.timeline;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;
import org.ibissaddle.daemon.path.Headers;

/** Puts the stamp of the hybrid logical clock on calls of other instances, and takes that of their answers. */
public final class StampInterceptor implements Interceptor {
    private final Recorder recorder;

    /**
     * Creates the interceptor.
     *
     * @param recorder holds the clock
     */
    public StampInterceptor(Recorder recorder) {
        this.recorder = recorder;
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Request request = chain.request();
        boolean toInstance = request.header(Headers.HOP) != null || request.header(Headers.PEER_AUTH) != null;
        if (!toInstance) {
            return chain.proceed(request);
        }
        Response response = chain.proceed(request.newBuilder()
                .header(Recorder.HEADER, recorder.send().toString())
                .build());
        recorder.receive(java.util.Optional.ofNullable(response.header(Recorder.HEADER)));
        return response;
    }
}
