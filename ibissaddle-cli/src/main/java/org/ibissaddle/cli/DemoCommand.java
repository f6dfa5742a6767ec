package org.ibissaddle.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.cli.call.Answer;
import org.ibissaddle.cli.call.Asked;
import org.ibissaddle.cli.call.Call;
import org.ibissaddle.cli.call.GatewayCaller;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.cli.deployment.EmbeddedDeployment;
import org.ibissaddle.id.Address;
import org.ibissaddle.standins.AnswerText;

/** Runs a deployment in one process and sends sample requests. */
final class DemoCommand implements Command {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int READY_TRIES = 200;
    private static final long READY_PAUSE_MS = 100;
    private static final int SHOWN_CHARS = 60;
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
                        .desc("keeps the deployment running until the process is ended")
                        .get());
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws CommandFailedException {
        Logging.configure(Level.WARNING);
        out.println("starting a platform, 8 engines, 3 ledger servers and 4 instances in three regions on loopback");
        try (EmbeddedDeployment deployment =
                        EmbeddedDeployment.start(DeploymentSpec.cooperative(), Examples.read("cooperative/note.ini"));
                GatewayCaller caller = new GatewayCaller()) {
            for (Address control : deployment.controls()) {
                waitUntilReady(control);
            }
            int code = new Requests(deployment.controls().get(0), caller, out).sendAll();
            if (line.hasOption("stay")) {
                out.println("running on; control addresses: " + deployment.controls());
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

    private void waitUntilReady(Address control) throws IOException, InterruptedException {
        for (int i = 0; i < READY_TRIES; i++) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + control + "/ready"))
                    .build();
            if (http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
                return;
            }
            Thread.sleep(READY_PAUSE_MS);
        }
        throw new IOException("instance at " + control + " did not become ready");
    }

    /** The sample requests and what their callers got. */
    private record Requests(Address control, GatewayCaller caller, PrintStream out) {
        int sendAll() throws IOException {
            String dossier = Examples.read("cooperative/dossier.txt");
            boolean ok = model("a member sends an inspection dossier", "members", dossier, REPORT_TOKENS);
            ok &= model(
                    "a yard keeper of Darkhan sends one that must stay there", "darkhan-yard", dossier, REPORT_TOKENS);
            ok &= model("a buyer asks for a price", "buyers", "What does lot 4471 cost?", SHORT_TOKENS);
            ok &= service("a buyer looks at the stock", Call.service("GET", "/ledger/stock", Optional.empty()));
            String purchase = "{\"lot\":4471,\"member\":\"herder-12\"}";
            ok &= service(
                    "a buyer confirms a purchase, which may run once only",
                    Call.service("POST", "/ledger/purchase", Optional.of(purchase)));
            out.println(ok ? "every caller got its whole answer" : "NOT every caller got its whole answer");
            return ok ? 0 : 1;
        }

        private boolean model(String title, String workspace, String prompt, int tokens) throws IOException {
            Call call = Call.chat(MODEL, prompt, tokens);
            Answer answer = send(title, workspace, call);
            boolean whole = answer.complete() && answer.text().equals(AnswerText.answerFor(MODEL, prompt, tokens));
            out.println("  " + prompt.length() + " characters sent, "
                    + answer.text().length() + " got: \"" + shortened(answer.text()) + "\"");
            out.println("  " + (whole ? "whole answer, checked against the engine's text" : "NOT the whole answer"));
            return whole;
        }

        private boolean service(String title, Call call) throws IOException {
            Answer answer = send(title, "buyers", call);
            out.println("  " + answer.status() + " " + shortened(answer.text()));
            return answer.complete();
        }

        private Answer send(String title, String workspace, Call call) throws IOException {
            Asked asked = caller.ask(control, workspace, call);
            Answer answer = caller.send(asked.instance(), workspace, call, asked.ticket());
            out.println(title + " (workspace " + workspace + ")");
            String ticket = asked.ticket().isPresent() ? ", with a ticket" : "";
            out.println("  told to use " + asked.name() + " at " + asked.instance() + ticket);
            out.println("  served by instance " + answer.instance().orElse("?") + ", backend server "
                    + answer.server().or(() -> namedBy(answer.text())).orElse("?") + ", ran: " + answer.ran());
            return answer;
        }

        /** The stand-ins of plain services name themselves in their answers. */
        private static Optional<String> namedBy(String text) {
            try {
                return Optional.ofNullable(JSON.readTree(text).path("service").textValue());
            } catch (JsonProcessingException e) {
                return Optional.empty();
            }
        }

        private static String shortened(String text) {
            int end = text.offsetByCodePoints(0, Math.min(SHOWN_CHARS, text.codePointCount(0, text.length())));
            return end < text.length() ? text.substring(0, end) + "…" : text;
        }
    }
}
