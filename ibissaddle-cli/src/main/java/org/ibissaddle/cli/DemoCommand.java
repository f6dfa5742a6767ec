package org.ibissaddle.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.cli.call.Call;
import org.ibissaddle.cli.call.CallResult;
import org.ibissaddle.cli.call.GatewayClient;
import org.ibissaddle.cli.call.ResolvedInstance;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.cli.deployment.EmbeddedDeployment;
import org.ibissaddle.cli.timeline.TimelineCollector;
import org.ibissaddle.cli.timeline.TimelinePage;
import org.ibissaddle.id.Address;
import org.ibissaddle.standins.ResponseText;
import org.ibissaddle.timeline.Timeline;

/** Runs a deployment in one process and sends sample requests to it. */
final class DemoCommand implements Command {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int READY_ATTEMPTS = 200;
    private static final long READY_POLL_MS = 100;
    private static final int MAX_SHOWN_CHARS = 60;
    private static final int REPORT_TOKENS = 120;
    private static final int SHORT_TOKENS = 24;
    private static final String MODEL = "inspector";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Runs the cooperative's deployment in one process and sends sample requests.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("stay")
                        .desc("keep the deployment running until the process is terminated")
                        .get());
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws CommandFailedException {
        Logging.configure(Level.WARNING);
        out.println("starting a platform, 8 engines, 3 ledger servers and 4 instances in three regions on loopback");
        try (EmbeddedDeployment deployment =
                        EmbeddedDeployment.start(DeploymentSpec.cooperative(), Examples.read("cooperative/note.ini"));
                GatewayClient client = new GatewayClient()) {
            for (Address control : deployment.controlAddresses()) {
                waitUntilReady(control);
            }
            int code = new Requests(deployment.controlAddresses().get(0), client, out).sendAll();
            out.println("timeline of all instances: " + writeTimeline(deployment.controlAddresses()));
            if (line.hasOption("stay")) {
                out.println("deployment keeps running; control addresses: " + deployment.controlAddresses());
                new CountDownLatch(1).await();
            }
            return code;
        } catch (IOException e) {
            throw new CommandFailedException(e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailedException("interrupted", e);
        }
    }

    private static Path writeTimeline(List<Address> controls) throws IOException {
        Timeline timeline = new TimelineCollector().collect(controls);
        Path page = Files.createTempFile("ibissaddle-timeline-", ".html");
        return Files.writeString(page, TimelinePage.write(timeline, Optional.empty()));
    }

    private void waitUntilReady(Address control) throws IOException, InterruptedException {
        for (int i = 0; i < READY_ATTEMPTS; i++) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + control + "/ready"))
                    .build();
            if (http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
                return;
            }
            Thread.sleep(READY_POLL_MS);
        }
        throw new IOException("instance at " + control + " did not become ready");
    }

    /** Sends the sample requests and prints their results. */
    private record Requests(Address control, GatewayClient client, PrintStream out) {
        int sendAll() throws IOException {
            String dossier = Examples.read("cooperative/dossier.txt");
            boolean allComplete = sendChat("a member sends an inspection dossier", "members", dossier, REPORT_TOKENS);
            allComplete &= sendChat(
                    "a yard keeper of Darkhan sends one that must stay there", "darkhan-yard", dossier, REPORT_TOKENS);
            allComplete &= sendChat("a buyer asks for a price", "buyers", "What does lot 4471 cost?", SHORT_TOKENS);
            allComplete &= sendServiceCall(
                    "a buyer looks at the stock", Call.service("GET", "/ledger/stock", Optional.empty()));
            String purchase = "{\"lot\":4471,\"member\":\"herder-12\"}";
            allComplete &= sendServiceCall(
                    "a buyer confirms a purchase, which must not run more than once",
                    Call.service("POST", "/ledger/purchase", Optional.of(purchase)));
            out.println(
                    allComplete
                            ? "every caller got its whole answer"
                            : "some callers got an incomplete or unexpected answer");
            return allComplete ? 0 : 1;
        }

        private boolean sendChat(String title, String workspace, String prompt, int tokens) throws IOException {
            Call call = Call.chat(MODEL, prompt, tokens);
            CallResult result = send(title, workspace, call);
            boolean complete = result.complete() && result.text().equals(ResponseText.textFor(MODEL, prompt, tokens));
            out.println("  " + prompt.length() + " characters sent, "
                    + result.text().length() + " received: \"" + truncate(result.text()) + "\"");
            out.println("  "
                    + (complete
                            ? "complete answer that matches the expected text of the engine"
                            : "incomplete or unexpected answer"));
            return complete;
        }

        private boolean sendServiceCall(String title, Call call) throws IOException {
            CallResult result = send(title, "buyers", call);
            out.println("  " + result.status() + " " + truncate(result.text()));
            return result.complete();
        }

        private CallResult send(String title, String workspace, Call call) throws IOException {
            ResolvedInstance resolved = client.resolve(control, workspace, call);
            CallResult result = client.send(resolved.address(), workspace, call, resolved.ticket());
            out.println(title + " (workspace " + workspace + ")");
            String ticket = resolved.ticket().isPresent() ? ", with a ticket" : "";
            out.println("  resolved to instance " + resolved.name() + " at " + resolved.address() + ticket);
            out.println("  served by instance " + result.instance().orElse("?") + ", backend server "
                    + result.server().or(() -> serviceName(result.text())).orElse("?") + ", execution: "
                    + result.executionStatus());
            return result;
        }

        /** Stand-ins of plain services report their own name in the response body. */
        private static Optional<String> serviceName(String text) {
            try {
                return Optional.ofNullable(JSON.readTree(text).path("service").textValue());
            } catch (JsonProcessingException e) {
                return Optional.empty();
            }
        }

        private static String truncate(String text) {
            int end = text.offsetByCodePoints(0, Math.min(MAX_SHOWN_CHARS, text.codePointCount(0, text.length())));
            return end < text.length() ? text.substring(0, end) + "…" : text;
        }
    }
}
