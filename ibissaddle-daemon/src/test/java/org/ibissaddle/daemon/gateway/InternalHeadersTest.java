package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class InternalHeadersTest {
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldSayWhetherARefusedRequestMayHaveReachedAServer(boolean mayHaveReached) {
        HttpHeaders headers = new DefaultHttpHeaders();
        InternalHeaders.setReachedServer(headers, mayHaveReached);

        assertThat(InternalHeaders.mayHaveReachedServer(headers)).isEqualTo(mayHaveReached);
    }

    // During an update, a refusal of an instance of an earlier version would be resent for free.
    @Test
    void shouldAssumeThatARequestReachedAServerIfTheRefusalDoesNotSay() {
        HttpHeaders headers = new DefaultHttpHeaders().set(InternalHeaders.OUTCOME, InternalHeaders.NOT_RUN);

        assertThat(InternalHeaders.mayHaveReachedServer(headers)).isTrue();
    }
}
