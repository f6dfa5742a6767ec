package org.ibissaddle.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against endings of calls that are blamed on the wrong side. */
class CallFailureTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7\r\n";

    private final Recorder recorder = new Recorder();
    private EmbeddedChannel channel;

    private static final class Recorder implements ResponseListener {
        private Optional<CallFailure> failure = Optional.empty();
        private boolean complete;
        private boolean broken;

        @Override
        public void onResponseHead(HttpResponse head) {
            if (broken) {
                throw new IllegalStateException("listener");
            }
        }

        @Override
        public void onContent(ByteBuf content) {
            // Only the end of the call matters.
        }

        @Override
        public void onComplete() {
            complete = true;
        }

        @Override
        public void onFailure(CallFailure cause) {
            failure = Optional.of(cause);
        }
    }

    @BeforeEach
    void send() {
        channel = new EmbeddedChannel();
        HttpClient client = new HttpClient(channel.eventLoop(), () -> 0, endpoint -> {});
        ClientConnection connection =
                new ClientConnection(client, new Endpoint("s1", new Address("127.0.0.1", 1)), () -> 0);
        connection.addHandlers(channel.pipeline());
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set("X-Attempt-Id", "7");
        connection.start(new HttpClient.Call(request, Unpooled.EMPTY_BUFFER, recorder), false);
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    @Nested
    class Received {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "HTTP/1.1 20",
                    HEAD,
                    HEAD + "Content-Length: 5\r\n\r\nabc",
                    HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
                })
        void shouldReportAClosedConnection(String received) {
            receive(received);
            channel.close();

            assertThat(recorder.failure).get().isInstanceOf(CallFailure.ConnectionLost.class);
            assertThat(recorder.complete).isFalse();
        }

        @Test
        void shouldReportAResetConnection() {
            receive(HEAD + "\r\nabc");
            channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));

            assertThat(recorder.failure).get().isInstanceOf(CallFailure.ConnectionLost.class);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "no response\r\n\r\n",
                    HEAD + "Transfer-Encoding: chunked\r\n\r\nno size\r\nabc\r\n",
                    HEAD + "Transfer-Encoding: gzip\r\n\r\nabc",
                    HEAD + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabc"
                })
        void shouldReportAnInvalidResponse(String received) {
            receive(received);

            assertThat(recorder.failure).get().isInstanceOf(CallFailure.InvalidResponse.class);
        }

        @Test
        void shouldReportAnErrorInThisProcess() {
            recorder.broken = true;
            receive(HEAD + "Content-Length: 0\r\n\r\n");

            assertThat(recorder.failure)
                    .contains(new CallFailure.LocalError("java.lang.IllegalStateException: listener", true));
        }
    }

    @Nested
    class Connecting {
        @Test
        void shouldReportAnUnreachableServer() {
            assertThat(HttpClient.connectFailure(new ConnectException("Connection refused")))
                    .isEqualTo(new CallFailure.NotSent("connect: Connection refused"));
        }

        /** Guards against a lack of local ports or file descriptors that makes all servers look unreachable. */
        @Test
        void shouldReportALackOfLocalResources() {
            SocketException noPort = new SocketException("Cannot assign requested address: /127.0.0.1:1");
            noPort.initCause(new BindException("Cannot assign requested address"));

            assertThat(HttpClient.connectFailure(noPort)).isInstanceOf(CallFailure.LocalError.class);
            assertThat(HttpClient.connectFailure(new ChannelException("Failed to open a socket.")))
                    .isEqualTo(new CallFailure.LocalError("connect: Failed to open a socket.", false));
        }
    }
}
