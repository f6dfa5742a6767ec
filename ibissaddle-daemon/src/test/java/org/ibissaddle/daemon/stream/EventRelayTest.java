package org.ibissaddle.daemon.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import okhttp3.MediaType;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.stream.ChunkPosition;
import org.ibissaddle.stream.ResponseSequencer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stream that ends with its connection and is taken for a complete one. */
class EventRelayTest {
    private static final RequestId REQUEST = new RequestId("r1");
    private static final String FIRST =
            "id: r1/0/0\ndata: {\"choices\":[{\"text\":\"lot\",\"finish_reason\":null}]}\n\n";
    private static final String LAST =
            "id: r1/0/3\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    private final StringBuilder relayed = new StringBuilder();

    private EventRelay.ConnectionEnd relay(String stream) throws IOException {
        EventRelay.EventIdCodec codec = new EventRelay.EventIdCodec() {
            @Override
            public Optional<ChunkPosition> decode(String id, int length) {
                return ChunkPosition.parse(id);
            }

            @Override
            public String encode(String id) {
                return id;
            }
        };
        Response response = new Response.Builder()
                .request(new Request.Builder().url("http://127.0.0.1/").build())
                .protocol(Protocol.HTTP_1_1)
                .code(200)
                .message("OK")
                .body(ResponseBody.create(stream, MediaType.get("text/event-stream")))
                .build();
        return new EventRelay(ResponseSequencer.of(REQUEST, 1_000), codec, new RecordingWriter(), () -> {})
                .relay(response);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "id: r1/0/0\ndata: {\"cho",
                FIRST,
                FIRST + "id: r1/0/3\ndata: {\"choices\":[{\"te",
                FIRST + LAST,
                FIRST + LAST + "data: [DONE]",
                FIRST + LAST + "data: [DO\n\n"
            })
    void shouldReportACutBeforeTheEndMarker(String stream) throws IOException {
        assertThat(relay(stream)).isEqualTo(EventRelay.ConnectionEnd.CUT);
        assertThat(relay(stream.replace("\n", "\r\n"))).isEqualTo(EventRelay.ConnectionEnd.CUT);
        assertThat(relayed).doesNotContain("[DONE]");
    }

    @Test
    void shouldCompleteAStreamWithItsEndMarker() throws IOException {
        assertThat(relay(FIRST + LAST + DONE)).isEqualTo(EventRelay.ConnectionEnd.COMPLETE);
        assertThat(relayed.toString()).endsWith(DONE);
    }

    private final class RecordingWriter implements ClientResponseWriter {
        @Override
        public void sendComplete(int status, Map<String, String> headers, byte[] body) {
            throw new AssertionError("the relay must not send a complete response");
        }

        @Override
        public void start(int status, Map<String, String> headers) {
            throw new AssertionError("the relay must not start the response");
        }

        @Override
        public void sendChunk(byte[] bytes) {
            relayed.append(new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void end() {
            throw new AssertionError("the relay must not end the response");
        }

        @Override
        public void abort() {
            throw new AssertionError("the relay must not abort the response");
        }

        @Override
        public boolean started() {
            return true;
        }

        @Override
        public void onDisconnect(Runnable action) {}
    }
}
