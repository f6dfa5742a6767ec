package org.ibissaddle.proof.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** Guards the promises of the gateway against servers that answer twice, reject or crash while instances restart. */
class GatewaySoakTest {
    private static final long DURATION_MS = 12_000;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    @Test
    void shouldKeepItsPromisesWhileServersAndInstancesFail() throws IOException, InterruptedException {
        assertThat(violations(1)).isEmpty();
    }

    /** Run by hand: {@code ./run one ibissaddle-proof GatewaySoakTest -Dsoak.from=1 -Dsoak.to=50}. */
    @Tag("soak")
    @Test
    void shouldKeepItsPromisesOnManySeeds() throws IOException, InterruptedException {
        List<String> violations = new ArrayList<>();
        for (long seed = Long.getLong("soak.from", 2); seed <= Long.getLong("soak.to", 3); seed++) {
            violations.addAll(violations(seed));
        }
        assertThat(violations).isEmpty();
    }

    private List<String> violations(long seed) throws IOException, InterruptedException {
        try (GatewaySoak soak = new GatewaySoak(seed, Files.createDirectory(directory.resolve("seed-" + seed)))) {
            soak.run(DURATION_MS);
            List<String> violations = soak.audit().violations();
            System.out.printf(
                    "gateway soak: seed=%d answers=%s fullest=%s violations=%s%n",
                    seed, soak.statusCounts(), soak.audit().fullestWindows(), violations);
            return violations.stream()
                    .map(violation -> "seed " + seed + ": " + violation)
                    .toList();
        }
    }
}
