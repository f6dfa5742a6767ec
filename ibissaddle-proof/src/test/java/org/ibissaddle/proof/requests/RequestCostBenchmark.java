package org.ibissaddle.proof.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.ibissaddle.dispatch.Answer;
import org.ibissaddle.dispatch.AtMostOnceLedger;
import org.ibissaddle.dispatch.AtMostOnceLimits;
import org.ibissaddle.dispatch.Claim;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.Permit;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.standins.EngineFaults;
import org.ibissaddle.standins.StandinStartException;
import org.ibissaddle.ticket.Ticket;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures the latency of ticketed calls against plain forwarding, and the memory per stored outcome and per open
 * stream.
 */
@Tag("benchmark")
class RequestCostBenchmark {
    private static final int WARM_UP_CALLS = 1_000;
    private static final int CALLS = 1_000;
    private static final int STORED_OUTCOMES = 90_000;
    private static final int ANSWER_BYTES = 200;
    private static final Incarnation INCARNATION = new Incarnation(1, 1);
    private static final int[] STREAM_COUNTS = {20, 60, 100};

    @Test
    void shouldMeasureTicketedCalls(@TempDir Path directory)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(directory, 1, 1, 0)) {
            AtMostOnceClient caller = new AtMostOnceClient(cluster);
            List<String> tickets = new ArrayList<>();
            measure("warm-up", WARM_UP_CALLS, i -> forwardPlain(cluster));
            measure(
                    "warm-up",
                    WARM_UP_CALLS,
                    i -> sendTicketed(
                            caller, caller.requestTicket("a").orElseThrow().encoded()));
            measure("plain-forward", CALLS, i -> forwardPlain(cluster));
            measure(
                    "ask",
                    CALLS,
                    i -> tickets.add(caller.requestTicket("a").orElseThrow().encoded()));
            measure("ticketed-call", CALLS, i -> sendTicketed(caller, tickets.get(i)));
            assertThat(cluster.executionCounts()).isNotEmpty();
        }
    }

    @Test
    void shouldMeasureMemoryPerStoredOutcome() {
        AtMostOnceLedger ledger = new AtMostOnceLedger(new InstanceId("a"), INCARNATION, AtMostOnceLimits.DEFAULT);
        long bytesWithFew = storeOutcomes(ledger, 0, STORED_OUTCOMES / 10);
        long bytesWithMany = storeOutcomes(ledger, STORED_OUTCOMES / 10, STORED_OUTCOMES);
        long bytesPerOutcome = (bytesWithMany - bytesWithFew) / (STORED_OUTCOMES - STORED_OUTCOMES / 10);
        System.out.println("event=outcome-memory outcomes=" + ledger.size() + " answer_bytes=" + ANSWER_BYTES
                + " bytes_each=" + bytesPerOutcome);
        assertThat(bytesPerOutcome).isGreaterThan(ANSWER_BYTES);
    }

    private static long storeOutcomes(AtMostOnceLedger ledger, int from, int until) {
        for (int i = from; i < until; i++) {
            Ticket ticket = new Ticket(
                    "%032x".formatted(i),
                    new PoolId("ledger"),
                    new WorkspaceId("w"),
                    Ticket.callHash("POST", "/buy"),
                    new InstanceId("a"),
                    INCARNATION,
                    1_000);
            Permit permit = ((Claim.Run) ledger.claim(ticket, 0)).permit();
            assertThat(permit.maySend(0)).isTrue();
            Map<String, String> headers = Map.of("content-type", "application/json");
            permit.complete(new Outcome.Ran(new Answer(200, headers, new byte[ANSWER_BYTES])));
        }
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    @Test
    void shouldMeasureMemoryPerOpenStream(@TempDir Path directory)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(directory, 1, 0, 1)) {
            cluster.engines().get(0).setFaults(EngineFaults.none().withStallMs(600_000));
            List<Socket> sockets = new ArrayList<>();
            List<Long> liveBytes = new ArrayList<>();
            for (int count : STREAM_COUNTS) {
                while (sockets.size() < count) {
                    sockets.add(openStream(cluster));
                }
                Polling.until(
                        "the engine has received all streams",
                        () -> cluster.engines().get(0).stats().requests() >= count);
                liveBytes.add(cluster.liveBytes("a"));
                System.out.println("event=stream-memory streams=" + count + " live_bytes=" + liveBytes.getLast());
            }
            long bytesPerStream = (liveBytes.getLast() - liveBytes.getFirst()) / (STREAM_COUNTS[2] - STREAM_COUNTS[0]);
            System.out.println("event=stream-memory-slope bytes_each=" + bytesPerStream);
            for (Socket socket : sockets) {
                socket.close();
            }
            assertThat(bytesPerStream).isPositive();
        }
    }

    private static Socket openStream(Cluster cluster) throws IOException {
        URI url = URI.create(cluster.directUrl("a"));
        Socket socket = new Socket(url.getHost(), url.getPort());
        String body = "{\"model\":\"m@1\",\"prompt\":\"p\",\"max_tokens\":50,\"stream\":true}";
        String request = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-Workspace: w\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static void forwardPlain(Cluster cluster) {
        assertThat(cluster.callIdempotent("a", "/stock")).isTrue();
    }

    private static void sendTicketed(AtMostOnceClient caller, String ticket) {
        assertThat(caller.send("a", ticket)).contains(ExecutionStatus.RAN);
    }

    private interface MeasuredCall {
        void execute(int i);
    }

    private static void measure(String name, int calls, MeasuredCall call) {
        long[] nanos = new long[calls];
        LongSupplier clock = System::nanoTime;
        for (int i = 0; i < calls; i++) {
            long start = clock.getAsLong();
            call.execute(i);
            nanos[i] = clock.getAsLong() - start;
        }
        Arrays.sort(nanos);
        System.out.println("event=cost path=" + name + " calls=" + calls + " median_us=" + nanos[calls / 2] / 1_000
                + " p95_us=" + nanos[calls * 95 / 100] / 1_000);
    }
}
