package org.ibissaddle.cli.status;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StatusTextTest {
    private static final Address CONTROL = new Address("127.0.0.1", 8101);

    private static InstanceStatus status(String name, int note, String peerHealth) throws JsonProcessingException {
        String json = """
                {"instance":"%s","region":"Darkhan","zone":"da-1","draining":false,
                 "note":{"number":%d,"digest":"0123456789abcdef"},
                 "now_ms":5500,"refreshed_at_ms":4000,"open_requests":12,
                 "peers":[{"name":"sa-1-a","health":"%s","control_address":"127.0.0.1:1"}],
                 "servers":[{"name":"engine-1","pool":"inspection","zone":"da-1","health":"LIVE",
                             "running":3,"queued":14,"models":["inspector@1"]}],
                 "refusals":[{"type":"overloaded","total":77,"per_minute":30.5,"message":"wait of 9000 ms"}]}
                """.formatted(name, note, peerHealth);
        return InstanceStatus.of(CONTROL, new ObjectMapper().readTree(json));
    }

    private static String render(InstanceStatus... statuses) {
        return new StatusText(List.of(statuses), false).render();
    }

    @Nested
    class Tables {
        @Test
        void shouldShowInstancesServersAndRefusals() throws JsonProcessingException {
            assertThat(render(status("da-1-a", 7, "LIVE"))).isEqualTo("""
                            REGION   ZONE  INSTANCE  STATE  NOTE        REFRESHED  OPEN  CUT OFF FROM
                            Darkhan  da-1  da-1-a    ready  7 01234567  1.5 s ago  12    -

                            REGION   ZONE  SERVER    POOL        HEALTH  RUNNING  QUEUED  MODELS
                            Darkhan  da-1  engine-1  inspection  live    3        14      inspector@1

                            REFUSED BY  TYPE        TOTAL  PER MINUTE  LAST MESSAGE
                            da-1-a      overloaded  77     30.5        wait of 9000 ms
                            """);
        }

        @Test
        void shouldUseColoursOnlyWhenEnabled() throws JsonProcessingException {
            InstanceStatus status = status("da-1-a", 7, "DOWN");

            assertThat(render(status)).doesNotContain("\u001b");
            assertThat(new StatusText(List.of(status), true).render()).contains("\u001b[31msa-1-a (down)");
        }
    }

    @Nested
    class Warnings {
        @Test
        void shouldWarnAboutUnreachablePeers() throws JsonProcessingException {
            assertThat(render(status("da-1-a", 7, "SUSPECT")))
                    .startsWith("warning: da-1-a is cut off from sa-1-a (suspect)\n");
        }

        @Test
        void shouldWarnAboutDifferentNotes() throws JsonProcessingException {
            assertThat(render(status("da-1-a", 7, "LIVE"), status("da-1-b", 8, "LIVE")))
                    .startsWith("warning: instances hold different release notes: 7 01234567, 8 01234567\n");
        }

        @Test
        void shouldWarnAboutInstancesWithoutResponse() {
            assertThat(render(InstanceStatus.failed(CONTROL, "no answer: refused")))
                    .startsWith("warning: the instance at 127.0.0.1:8101 gave no answer: refused\n");
        }
    }
}
