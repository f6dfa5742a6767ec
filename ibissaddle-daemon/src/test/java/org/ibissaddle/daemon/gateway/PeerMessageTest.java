package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;

class PeerMessageTest {
    private static final String STATE_OF_EARLIER_VERSION = """
            {"id":"i","incarnation":1,"sequence":1,"region":"north","zone":"north-a","callerAddress":"10.0.0.1:1",
             "peerAddress":"10.0.0.1:2","ready":true,"draining":false,"revision":1,"platformReachable":true,
             "services":{}}""";

    // During an update, instances would refuse the messages of those of the earlier version.
    @Test
    void shouldReadAStateWithoutTheNumberOfKnownInstances() throws JsonProcessingException {
        PeerMessage.State state =
                JsonMapper.builder().build().readValue(STATE_OF_EARLIER_VERSION, PeerMessage.State.class);

        assertThat(state.toPeerState().knownInstances()).isZero();
    }
}
