import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A client sends requests with a chunk of over 4 GiB, whose first bytes look like the end of the body and a request. */
final class SmuggledInChunk {
    private static final int REQUESTS = 20;

    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case");
        int code = 2;
        try {
            code = run(trouble, Path.of(args[0]), folder);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            Gateway.endAll();
        }
        System.exit(code);
    }

    private static int run(boolean trouble, Path record, Path folder) throws Exception {
        String host = "127.0.1.1";
        int base = Ports.freeBase(List.of(host), 10);
        Store store = new Store();
        store.new Door(host, base);
        store.put(
                "op/config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-confirm\",\"host\":\"shop.example\",\"pathPrefix\":\"/confirm/\","
                        + "\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,"
                        + "\"service\":\"ledger\",\"maxAttempts\":1,\"sticky\":false,\"resumable\":false,"
                        + "\"homeRegions\":[]}],\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\","
                        + "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
                        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                        + "\"idleTimeoutMs\":15000}}");
        Server.OnRun onRun = (server, request, atMs) -> RUNS.put(
                request.header("X-Attempt-Id"), new String(request.body(), StandardCharsets.ISO_8859_1));
        for (int i = 0; i < 2; i++) {
            new Server("i-" + i, "ledger", "east-a", host, base + 6 + i, 6, 20, onRun).register(store);
        }
        Gateway gateway = new Gateway(
                folder, "front-east-1", host, base, Gateway.settings(
                        "front-east-1", "east", "east-a", "east-a:east", host, base, host + ":" + base,
                        host + ":" + (base + 4), ""));
        gateway.start();
        gateway.awaitReady(10_000);
        List<String> lines = new ArrayList<>();
        int inner = 0;
        int changed = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String sentBody = "hello\r\n0\r\n\r\n" + request("inner-" + i, "Content-Length: 0") + "\r\n";
            // 100000005 (hexadecimal) is 4 GiB and 5 bytes, of which only the first are sent.
            String size = trouble ? "100000005" : Integer.toHexString(sentBody.length());
            String sent = request("outer-" + i, "Transfer-Encoding: chunked") + "\r\n" + size + "\r\n" + sentBody
                    + (trouble ? "" : "\r\n0\r\n\r\n");
            String answers = send(gateway, sent);
            boolean innerRan = RUNS.containsKey("inner-" + i);
            String outerBody = RUNS.get("outer-" + i);
            boolean outerChanged = outerBody != null && !outerBody.equals(sentBody);
            inner += innerRan ? 1 : 0;
            changed += outerChanged ? 1 : 0;
            lines.add("sent outer-" + i + " with a chunk of size " + size + "; answered " + answers + "; run: "
                    + (outerBody == null ? "" : "outer-" + i + " with a body of " + outerBody.length() + " bytes ")
                    + (innerRan ? "inner-" + i : ""));
        }
        boolean broken = inner + changed > 0;
        String summary = "trouble " + trouble + ", " + REQUESTS + " requests; " + inner + " run that were smuggled inside, "
                + changed + " run with a changed body: " + (broken ? "BROKEN" : "held") + "\n";
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(record))) {
            out.print(summary);
            lines.forEach(out::println);
        }
        System.out.print(summary);
        return broken ? 1 : 0;
    }

    private static String request(String id, String framing) {
        return "POST /confirm/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\n"
                + framing + "\r\n";
    }

    /** Returns the statuses of the answers that arrive within half a second. */
    private static String send(Gateway gateway, String text) {
        List<String> answers = new ArrayList<>();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.host, gateway.basePort + 1), 1_000);
            socket.setSoTimeout(500);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message answer = Http.read(in, false); answer != null; answer = Http.read(in, false)) {
                answers.add(Integer.toString(answer.status()));
            }
            answers.add("closed");
        } catch (SocketTimeoutException e) {
            answers.add("open");
        } catch (IOException e) {
            answers.add(e.getMessage());
        }
        return String.join(" ", answers);
    }
}
