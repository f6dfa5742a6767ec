package org.ibissaddle.daemon.backend;

import java.io.IOException;
import okhttp3.Response;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Reads refusals in which a backend server says that it did not run a call. */
final class ServerRefusals {
    private static final long MAX_REFUSAL_BYTES = 4096;
    private static final String DRAINING = "\"" + RefusalType.DRAINING.word() + "\"";

    private ServerRefusals() {}

    /** Tells from a refusal whether the server leaves or only cannot take the call now. */
    static Refusal read(ServerId server, Response response) throws IOException {
        boolean leaves = response.peekBody(MAX_REFUSAL_BYTES).string().contains(DRAINING);
        RefusalType type = leaves ? RefusalType.DRAINING : RefusalType.NO_SERVER;
        return Refusal.of(type, "server " + server + " did not take the call", Fate.NOT_RUN);
    }
}
