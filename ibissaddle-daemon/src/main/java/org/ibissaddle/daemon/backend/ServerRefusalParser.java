package org.ibissaddle.daemon.backend;

import java.io.IOException;
import okhttp3.Response;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Parses responses in which a backend server states that it did not execute a request. */
final class ServerRefusalParser {
    private static final long MAX_PEEKED_BYTES = 4096;
    private static final String DRAINING_JSON = "\"" + RefusalType.DRAINING.wireName() + "\"";

    private ServerRefusalParser() {}

    /**
     * Returns the refusal, whose type distinguishes a draining server from one that cannot accept the request at
     * present.
     */
    static Refusal parse(ServerId server, Response response) throws IOException {
        boolean draining = response.peekBody(MAX_PEEKED_BYTES).string().contains(DRAINING_JSON);
        RefusalType type = draining ? RefusalType.DRAINING : RefusalType.NO_SERVER;
        return Refusal.of(type, "server " + server + " did not execute the request", ExecutionStatus.NOT_RUN);
    }
}
