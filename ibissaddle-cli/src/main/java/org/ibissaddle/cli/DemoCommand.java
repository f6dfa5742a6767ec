package org.ibissaddle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.cli.deployment.EmbeddedDeployment;
import org.ibissaddle.id.Address;

/** Runs a deployment in one process and sends sample requests. */
final class DemoCommand implements Command {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int READY_TRIES = 100;
    private static final long READY_PAUSE_MS = 100;

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
        return new Options();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws CommandFailedException {
        Logging.configure(Level.WARNING);
        DeploymentSpec spec = DeploymentSpec.cooperative();
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(spec, resource("cooperative/note.ini"))) {
            for (Address control : deployment.controls()) {
                waitUntilReady(control);
            }
            Address instance = ask(deployment.controls().get(0), "members");
            out.println("a caller of workspace members is told to use " + instance);
            out.println(call(instance, "members", resource("cooperative/dossier.txt")));
            return 0;
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

    private Address ask(Address control, String workspace) throws IOException, InterruptedException {
        String question = JSON.createObjectNode().put("workspace", workspace).toString();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + control + "/v1/ask"))
                .POST(HttpRequest.BodyPublishers.ofString(question))
                .build();
        JsonNode answer = JSON.readTree(
                http.send(request, HttpResponse.BodyHandlers.ofString()).body());
        return Address.parse(answer.at("/instances/0/address").asText());
    }

    private String call(Address instance, String workspace, String dossier) throws IOException, InterruptedException {
        var body = JSON.createObjectNode()
                .put("model", "inspector")
                .put("stream", true)
                .put("max_tokens", 40);
        body.putArray("messages").addObject().put("role", "user").put("content", dossier);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + instance + "/v1/chat/completions"))
                .header("X-Workspace", workspace)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        return response.statusCode() + " " + response.headers().map() + "\n" + response.body();
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = DemoCommand.class.getResourceAsStream("/examples/" + name)) {
            if (in == null) {
                throw new IOException("the binary holds no example \"" + name + "\"");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
