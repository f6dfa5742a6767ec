package org.ibissaddle.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a connection whose earlier requests can't be recognised by the ids in late responses to them. */
class HttpClientTest {
    private static final Endpoint SERVER = new Endpoint("s1", new Address("127.0.0.1", 1));

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final HttpClient client = new HttpClient(channel.eventLoop(), () -> 0, endpoint -> {});
    private final ClientConnection connection = new ClientConnection(client, SERVER, () -> 0);

    private static final class Ignoring implements ResponseListener {
        @Override
        public void onResponseHead(HttpResponse head) {
            // Only the connection matters.
        }

        @Override
        public void onContent(ByteBuf content) {
            // Only the connection matters.
        }

        @Override
        public void onComplete() {
            // Only the connection matters.
        }

        @Override
        public void onFailure(CallFailure failure) {
            // Only the connection matters.
        }
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void completeCall(String header) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set(header, "7");
        connection.start(new HttpClient.Call(request, Unpooled.EMPTY_BUFFER, new Ignoring()), false);
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
    }

    @Test
    void shouldReuseAConnectionForRequestsWithIds() {
        connection.addHandlers(channel.pipeline());
        completeCall("X-Attempt-Id");

        assertThat(client.takeIdle(SERVER, false, 1)).isNull();
        assertThat(client.takeIdle(SERVER, true, 1)).isSameAs(connection);
    }

    @Test
    void shouldNotReuseAConnectionOfARequestWithoutIdForOneWithAnId() {
        connection.addHandlers(channel.pipeline());
        completeCall("X-Other");

        assertThat(client.takeIdle(SERVER, true, 1)).isNull();
        assertThat(client.takeIdle(SERVER, false, 1)).isSameAs(connection);
    }

    @Test
    void shouldCloseTheIdleConnectionsOfBothKinds() {
        connection.addHandlers(channel.pipeline());
        completeCall("X-Other");
        client.closeIdleConnections(SERVER);

        assertThat(channel.isActive()).isFalse();
        assertThat(client.takeIdle(SERVER, false, 1)).isNull();
    }
}
