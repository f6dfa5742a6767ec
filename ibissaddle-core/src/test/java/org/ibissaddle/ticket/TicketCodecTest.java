package org.ibissaddle.ticket;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.stream.StreamToken;
import org.ibissaddle.stream.StreamTokenCodec;
import org.junit.jupiter.api.Test;

class TicketCodecTest {
    private final DeploymentKey key = DeploymentKey.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8));
    private final TicketCodec codec = TicketCodec.withKey(key);
    private final WorkspaceId workspace = new WorkspaceId("w");
    private final Ticket ticket = new Ticket(
            Ticket.newKey(new Random(1)),
            new PoolId("ledger"),
            workspace,
            Ticket.callHash("POST", "/ledger/buy"),
            new InstanceId("a"),
            new Incarnation(5, -7),
            1_700_000_000_000L);

    @Test
    void shouldRoundTripATicket() throws TicketException {
        assertThat(codec.read(codec.write(ticket))).isEqualTo(ticket);
    }

    @Test
    void shouldCoverOnlyTheCallItWasIssuedFor() {
        assertThat(ticket.covers(workspace, "POST", "/ledger/buy")).isTrue();
        assertThat(ticket.covers(workspace, "POST", "/ledger/sell")).isFalse();
        assertThat(ticket.covers(new WorkspaceId("v"), "POST", "/ledger/buy")).isFalse();
    }

    @Test
    void shouldRejectChangedCharacters() {
        String text = codec.write(ticket);
        for (int i = 0; i < text.length() - 1; i++) {
            char other = text.charAt(i) == 'A' ? 'B' : 'A';
            String changed = text.substring(0, i) + other + text.substring(i + 1);
            assertThatThrownBy(() -> codec.read(changed)).isInstanceOf(TicketException.class);
        }
    }

    @Test
    void shouldRejectAStreamTokenAsATicket() throws TicketException {
        StreamTokenCodec tokens = new StreamTokenCodec(key);
        StreamToken token = new StreamToken(
                new InstanceId("a"), new ServerId("s"), new RequestId("r"), 1, 99, workspace, 1_700_000_000_000L);
        String text = tokens.write(token);
        assertThat(tokens.read(text)).isEqualTo(token);
        assertThatThrownBy(() -> codec.read(text)).isInstanceOf(TicketException.class);
    }
}
