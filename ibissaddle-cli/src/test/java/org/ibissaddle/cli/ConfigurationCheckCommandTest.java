package org.ibissaddle.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationCheckCommandTest {
    private static final String VALID = """
            {"version":2,"routes":[{"name":"r","host":"api","pathPrefix":"/r/","kind":"idempotent","service":"s"}],
             "services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["secret-a"],"homeRegions":["north"]}]}""";

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int run(String... args) {
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        return new Main(Commands.all(), stream, stream).run(args);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    @Test
    void shouldAcceptAValidConfiguration() throws IOException {
        String file = file("valid.json", VALID);

        assertThat(run("config-check", "--regions", "north, south", "--servers", "s=3", file))
                .isZero();
        assertThat(output()).isEqualTo(file + ": errors: 0, warnings: 0" + System.lineSeparator());
    }

    @Test
    void shouldRefuseFaultyConfigurationsAndHideKeys() throws IOException {
        String file = file("faulty.json", VALID.replace("{\"name\":\"a\"", """
                {"name":"first","apiKeys":["secret-a"]},{"name":"a\""""));

        assertThat(run("config-check", "--regions", "south", file)).isEqualTo(1);
        assertThat(output())
                .contains("error: workspaces[1] \"a\" keys[0]: the same key is held by workspaces[0] \"first\"")
                .contains("error: workspaces[1] \"a\": the home region \"north\" is not a region")
                .contains("errors: 2, warnings: 0")
                .doesNotContain("secret");
    }

    @Test
    void shouldPrintOneJsonObject() throws IOException {
        String file = file("old.json", VALID);

        assertThat(run("config-check", "--json", "--against", file, file)).isEqualTo(1);
        JsonNode json = new JsonMapper().readTree(output());
        assertThat(json.path("errors").intValue()).isEqualTo(1);
        assertThat(json.path("findings").path(0).path("severity").textValue()).isEqualTo("error");
        assertThat(json.path("findings").path(0).path("place").textValue()).isEqualTo("version");
        assertThat(json.path("changes").isArray()).isTrue();
        assertThat(json.path("changes")).isEmpty();
    }

    @Test
    void shouldPrintTheChangesFromTheConfigurationInForce() throws IOException {
        String old = file("old.json", VALID);
        String next = file(
                "next.json", VALID.replace("\"version\":2", "\"version\":3").replace("secret-a", "secret-b"));

        assertThat(run("config-check", "--against", old, next)).isZero();
        assertThat(run("config-check", "--json", "--against", old, next)).isZero();
        assertThat(output())
                .contains("changed workspace \"a\": keys[0] revoked, new keys[0] (")
                .contains("\"details\":[\"keys[0] revoked\",\"new keys[0]\"]")
                .doesNotContain("secret");
    }

    @Test
    void shouldReportAFaultOfTheConfigurationInForce() throws IOException {
        String file = file("new.json", VALID);

        assertThat(run("config-check", "--against", file("broken.json", "{"), file))
                .isEqualTo(1);
        assertThat(output()).contains("error: configuration in force: configuration: the message is not valid JSON");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "missing.json", "--servers s FILE", "--servers s=-1 FILE", "--regions , FILE", "FILE FILE"})
    void shouldTellMisuseFromFaults(String arguments) throws IOException {
        String file = file("valid.json", VALID);
        String line = ("config-check " + arguments.replace("FILE", file)).trim();

        assertThat(run(line.split(" ", -1))).isEqualTo(2);
        assertThat(output()).contains("ibissaddle config-check: ");
    }
}
