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

/** Cost of the ticket path against a plain forward, and memory by remembered outcome and by open stream. */
@Tag("benchmark")
class RequestCostBenchmark {
    private static final int WARM_UP = 1_000;
    private static final int CALLS = 1_000;
    private static final int OUTCOMES = 90_000;
    private static final int ANSWER_BYTES = 200;
    private static final Incarnation LIFE = new Incarnation(1, 1);
    private static final int[] STREAMS = {20, 60, 100};

    @Test
    void shouldMeasureTicketPathAndRememberedOutcomes(@TempDir Path folder)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(folder, 1, 1, 0)) {
            OnceCaller caller = new OnceCaller(cluster);
            List<String> tickets = new ArrayList<>();
            run("warm-up", WARM_UP, i -> plain(cluster));
            run(
                    "warm-up",
                    WARM_UP,
                    i -> once(caller, caller.ask("a").orElseThrow().text()));
            run("plain-forward", CALLS, i -> plain(cluster));
            run("ask", CALLS, i -> tickets.add(caller.ask("a").orElseThrow().text()));
            run("ticketed-call", CALLS, i -> once(caller, tickets.get(i)));
            assertThat(cluster.arrivals()).isNotEmpty();
        }
    }

    @Test
    void shouldMeasureRememberedOutcomes() {
        AtMostOnceLedger ledger = new AtMostOnceLedger(new InstanceId("a"), LIFE, AtMostOnceLimits.DEFAULT);
        long few = remember(ledger, 0, OUTCOMES / 10);
        long many = remember(ledger, OUTCOMES / 10, OUTCOMES);
        long slope = (many - few) / (OUTCOMES - OUTCOMES / 10);
        System.out.println("event=outcome-memory outcomes=" + ledger.size() + " answer_bytes=" + ANSWER_BYTES
                + " bytes_each=" + slope);
        assertThat(slope).isGreaterThan(ANSWER_BYTES);
    }

    private static long remember(AtMostOnceLedger ledger, int from, int until) {
        for (int i = from; i < until; i++) {
            Ticket ticket = new Ticket(
                    "%032x".formatted(i),
                    new PoolId("ledger"),
                    new WorkspaceId("w"),
                    Ticket.callHash("POST", "/buy"),
                    new InstanceId("a"),
                    LIFE,
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
    void shouldMeasureOpenStreams(@TempDir Path folder)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(folder, 1, 0, 1)) {
            cluster.engines().get(0).setFaults(EngineFaults.none().withStallMs(600_000));
            List<Socket> open = new ArrayList<>();
            List<Long> bytes = new ArrayList<>();
            for (int count : STREAMS) {
                while (open.size() < count) {
                    open.add(openStream(cluster));
                }
                Waiting.until(
                        "streams are open",
                        () -> cluster.engines().get(0).stats().requests() >= count);
                bytes.add(cluster.liveBytes("a"));
                System.out.println("event=stream-memory streams=" + count + " live_bytes=" + bytes.getLast());
            }
            long slope = (bytes.getLast() - bytes.getFirst()) / (STREAMS[2] - STREAMS[0]);
            System.out.println("event=stream-memory-slope bytes_each=" + slope);
            for (Socket socket : open) {
                socket.close();
            }
            assertThat(slope).isPositive();
        }
    }

    private static Socket openStream(Cluster cluster) throws IOException {
        URI url = URI.create(cluster.direct("a"));
        Socket socket = new Socket(url.getHost(), url.getPort());
        String body = "{\"model\":\"m@1\",\"prompt\":\"p\",\"max_tokens\":50,\"stream\":true}";
        String head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-Workspace: w\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static void plain(Cluster cluster) {
        assertThat(cluster.call("a", "/stock")).isTrue();
    }

    private static void once(OnceCaller caller, String ticket) {
        assertThat(caller.send("a", ticket)).contains(ExecutionStatus.RAN);
    }

    private interface Call {
        void make(int i);
    }

    private static void run(String name, int calls, Call call) {
        long[] nanos = new long[calls];
        LongSupplier clock = System::nanoTime;
        for (int i = 0; i < calls; i++) {
            long start = clock.getAsLong();
            call.make(i);
            nanos[i] = clock.getAsLong() - start;
        }
        Arrays.sort(nanos);
        System.out.println("event=cost path=" + name + " calls=" + calls + " median_us=" + nanos[calls / 2] / 1_000
                + " p95_us=" + nanos[calls * 95 / 100] / 1_000);
    }
}
