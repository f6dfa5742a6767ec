package org.ibissaddle.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SecondResponseScannerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nx-attempt-ID: 7\r\nContent-Length: 2\r\n\r\n";

    private final SecondResponseScanner scanner = new SecondResponseScanner("X-Attempt-Id", "7"::equals);
    private final StringBuilder body = new StringBuilder();

    private static SecondResponseScanner newScanner() {
        return new SecondResponseScanner("X-Attempt-Id", "7"::equals);
    }

    private static String text(ByteBuf bytes) {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        bytes.release();
        return text;
    }

    private static String add(SecondResponseScanner to, String content) {
        return to.foundId().isPresent()
                ? ""
                : text(to.add(Unpooled.copiedBuffer(content, StandardCharsets.ISO_8859_1)));
    }

    /** Scans a text in parts that each have the same size. */
    private void scanInParts(String text, int size) {
        for (int from = 0; from < text.length(); from += size) {
            body.append(add(scanner, text.substring(from, Math.min(from + size, text.length()))));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "hello",
                "hello\r\n",
                "H",
                "HTTP/1.",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: 8\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7\r\nno header\r\n",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\rX-Attempt-Id: 7\r\r",
                "{\"a\":\"HTTP/1.1 200 OK",
            })
    void shouldEndBodyBeforeHeadInPartsOfAnySize(String start) {
        for (int size = 1; size <= start.length() + HEAD.length(); size++) {
            SecondResponseScanner parts = newScanner();
            StringBuilder relayed = new StringBuilder();
            String text = start + HEAD + "ab" + HEAD;
            for (int from = 0; from < text.length(); from += size) {
                relayed.append(add(parts, text.substring(from, Math.min(from + size, text.length()))));
            }
            assertThat(relayed.toString()).as("parts of %d", size).isEqualTo(start);
            assertThat(parts.foundId()).contains("7");
        }
    }

    /** Guards against interim responses before a second response that are taken for the end of the body. */
    @Test
    void shouldEndBodyBeforeAnInterimResponse() {
        body.append(add(scanner, "hello" + "HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD));

        assertThat(scanner.foundId()).contains("7");
        assertThat(body.toString()).isEqualTo("hello");
    }

    /** Guards against a body that is cut where it quotes a head, when the second head begins within a line. */
    @Test
    void shouldKeepAQuotedHeadWhoseLastLineHasNoEnd() {
        body.append(add(scanner, "HTTP/1.1 404 Not Found\r\nServer: a" + HEAD));

        assertThat(scanner.foundId()).contains("7");
        assertThat(body.toString()).isEqualTo("HTTP/1.1 404 Not Found\r\nServer: a");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nA: b\r\n\r\nX-Attempt-Id: 7\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: 8\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Attempt-Id 7\r\n\r\n",
                "HTTP/1.1 200OK\r\nX-Attempt-Id: 7\r\n\r\n",
                "HTTP/2.0 200 OK\r\nX-Attempt-Id: 7\r\n\r\n",
                "data: HTTP/1.1 200 OK\ndata: X-Attempt-Id: 7\n\n",
                "HTTP/1.1 200 OK\rX-Attempt-Id: 7\r\r",
                "X-Attempt-Id: 7\r\n\r\n",
            })
    void shouldRelayTextThatQuotesAHead(String quote) {
        scanInParts(quote + "!", 1);

        assertThat(body.toString()).isEqualTo(quote + "!");
        assertThat(scanner.isInsideHead()).isFalse();
    }

    @Test
    void shouldRelayABodyThatEndsWithTheNameOfTheProtocol() {
        scanInParts("spoken: HTTP", 5);

        assertThat(scanner.isInsideHead()).isFalse();
        assertThat(body + text(scanner.takeHeld())).isEqualTo("spoken: HTTP");
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 7, 11, 12, 17, 30, 40})
    void shouldTellThatABodyEndsInsideAHead(int length) {
        scanInParts("hello" + HEAD.substring(0, length), 3);

        assertThat(scanner.isInsideHead()).isTrue();
        assertThat(body.toString()).isEqualTo("hello");
    }

    /** Guards against bytes that are held back without a limit. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nA: b", "HTTP/1.1 200 OK\r\nA: b\r\n"})
    void shouldLimitTheBytesThatAreHeldBack(String start) {
        String text = start + "A: b\r\n".repeat(HttpClient.MAX_HEAD_BYTES).replace("\r\n", "\r\nHTTP/1.1 200 ");
        int relayedUntil = 0;
        for (int from = 0; from < text.length(); from += 1_000) {
            int end = Math.min(from + 1_000, text.length());
            relayedUntil += add(scanner, text.substring(from, end)).length();
            assertThat(end - relayedUntil).isLessThanOrEqualTo(HttpClient.MAX_HEAD_BYTES);
        }
    }

    @Test
    void shouldLimitTheSizeOfAHead() {
        String statusLine = "HTTP/1.1 200 " + "a".repeat(2 * HttpClient.MAX_HEAD_BYTES);
        String headers = "HTTP/1.1 200 OK\r\n" + "A: b\r\n".repeat(HttpClient.MAX_HEAD_BYTES);

        scanInParts(statusLine + headers, 1_000);

        assertThat(scanner.isInsideHead()).isFalse();
        assertThat(body + text(scanner.takeHeld())).isEqualTo(statusLine + headers);
    }

    /** Guards against each possible head being searched to the end of the received bytes again. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 ", "HTTP/1.1 200 \r", "HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\nA: b\n"})
    void shouldRelayABodyOfRepeatedStartsOfHeads(String start) {
        String text = start.repeat(4 * 1_048_576 / start.length());

        scanInParts(text, 65_536);

        assertThat(body + text(scanner.takeHeld())).isEqualTo(text);
    }

    /** Guards against bytes that are lost or repeated in the parts of a random text. */
    @Test
    void shouldRelayRandomTextUnchanged() {
        Random random = new Random(37);
        String[] pieces = {"H", "HTTP/1.", "1 ", "200", " OK", "\r", "\n", "\r\n", "X-Attempt-Id: ", "8", "a", ": ", ""
        };
        for (int round = 0; round < 2_000; round++) {
            StringBuilder text = new StringBuilder();
            for (int i = random.nextInt(60); i > 0; i--) {
                text.append(pieces[random.nextInt(pieces.length)]);
            }
            SecondResponseScanner parts = newScanner();
            StringBuilder relayed = new StringBuilder();
            for (int from = 0; from < text.length(); ) {
                int end = Math.min(text.length(), from + 1 + random.nextInt(9));
                relayed.append(add(parts, text.substring(from, end)));
                from = end;
            }
            assertThat(relayed + text(parts.takeHeld())).isEqualTo(text.toString());
            assertThat(parts.foundId()).isEmpty();
        }
    }
}
