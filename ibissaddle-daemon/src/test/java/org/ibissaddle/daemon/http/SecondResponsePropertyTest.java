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
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.ibissaddle.id.Address;

/**
 * Guards against relaying bytes of a late second response as the end of a response that ends with its connection, in
 * whatever segments they arrive.
 */
class SecondResponsePropertyTest {
    private static final String[] BODY_PIECES = {
        "H", "HT", "HTTP", "\r", "\n", "\r\n", "id: 1\ndata: a\n\n", "{\"lot\":7}", " 200 OK", "X-Attempt-Id: 7", "a"
    };

    /** Fewer bytes of a second response at the end of the connection can't be told from text. */
    private static final int MIN_HEAD_BYTES = 5;

    /** What the caller of a request receives. */
    private static final class Recorder implements ResponseListener {
        private final StringBuilder body = new StringBuilder();
        private boolean complete;
        private boolean failed;

        @Override
        public void onResponseHead(HttpResponse head) {
            // Only the body matters.
        }

        @Override
        public void onContent(ByteBuf content) {
            body.append(content.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onComplete() {
            complete = true;
        }

        @Override
        public void onFailure(CallFailure cause) {
            failed = true;
        }
    }

    /** A connection to a server on which requests are sent one after the other. */
    private static final class Connection {
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final HttpClient client = new HttpClient(channel.eventLoop(), () -> 0, endpoint -> {});
        private final ClientConnection connection =
                new ClientConnection(client, new Endpoint("s1", new Address("127.0.0.1", 1)), () -> 0);
        private boolean reused;

        Connection() {
            connection.addHandlers(channel.pipeline());
        }

        Recorder send(String id) {
            HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            request.headers().set("X-Attempt-Id", id);
            Recorder recorder = new Recorder();
            connection.start(new HttpClient.Call(request, Unpooled.EMPTY_BUFFER, recorder), reused);
            reused = true;
            return recorder;
        }

        void receive(String bytes, Random random) {
            int maxSegment = random.nextBoolean() ? 4 : 400;
            for (int from = 0; from < bytes.length() && channel.isActive(); ) {
                int end = Math.min(bytes.length(), from + 1 + random.nextInt(maxSegment));
                channel.writeInbound(Unpooled.copiedBuffer(bytes.substring(from, end), StandardCharsets.ISO_8859_1));
                from = end;
            }
        }

        void close() {
            channel.close();
            channel.finishAndReleaseAll();
        }
    }

    private static String head(String id, Random random) {
        String[] statusLines = {
            "HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 503 Service Unavailable", "HTTP/1.1 404 ", "HTTP/1.1 500"
        };
        String[] headers = {
            "Server: s/1.0\r\n",
            "X-Server-Seal: HTTP/1.1\r\n",
            "Content-Type: text/event-stream; charset=utf-8\r\n",
            "X-Server-Load: 3,0,12,100\r\n",
            "X-Empty:\r\n",
            "Connection: close\r\n"
        };
        StringBuilder head = new StringBuilder(statusLines[random.nextInt(statusLines.length)]).append("\r\n");
        int idAt = random.nextInt(headers.length);
        for (int i = 0; i < headers.length; i++) {
            head.append(i == idAt ? "X-Attempt-Id: " + id + "\r\n" : "");
            head.append(random.nextBoolean() ? headers[i] : "");
        }
        return head.toString();
    }

    private static String body(Random random) {
        StringBuilder body = new StringBuilder();
        for (int i = random.nextInt(40); i > 0; i--) {
            body.append(BODY_PIECES[random.nextInt(BODY_PIECES.length)]);
        }
        return body.toString();
    }

    private static String secondResponse(String id, Random random) {
        String interim = random.nextInt(4) == 0 ? "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" : "";
        String body = body(random);
        return interim
                + switch (random.nextInt(3)) {
                    case 0 -> head(id, random) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                    case 1 ->
                        head(id, random) + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length())
                                + "\r\n" + body + "\r\n0\r\n\r\n";
                    default -> head(id, random) + "\r\n" + body;
                };
    }

    @Property(tries = 20_000, seed = "37")
    void shouldRelayAPrefixOfTheFirstResponse(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        Random random = new Random(seed);
        Connection connection = new Connection();
        int earlier = random.nextInt(3);
        for (int i = 1; i <= earlier; i++) {
            connection.send("earlier" + i);
            connection.receive(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: earlier" + i + "\r\nContent-Length: 2\r\n\r\nok", random);
        }
        Recorder recorder = connection.send("7");
        String first = body(random);
        String late = "";
        int end = 0;
        for (int copies = random.nextInt(3); copies >= 0; copies--) {
            String copy = secondResponse(earlier > 0 && random.nextInt(4) == 0 ? "earlier1" : "7", random);
            int cut = MIN_HEAD_BYTES + random.nextInt(copy.length() - MIN_HEAD_BYTES);
            end = late.length() + (random.nextBoolean() ? copy.length() : cut);
            late += copy;
        }

        connection.receive(head("7", random) + "\r\n" + first, random);
        connection.receive(late.substring(0, end), random);
        connection.close();

        assertThat(recorder.complete || recorder.failed).isTrue();
        if (recorder.complete) {
            assertThat(first).startsWith(recorder.body.toString());
        }
    }
}
