package org.ibissaddle.daemon.stream;

import java.io.IOException;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Work;

/** Answers model calls, streamed or whole. */
public final class ModelAnswers {
    private final ModelContext context;
    private final WholeAnswers whole;
    private final ApartGate gate = new ApartGate();

    /**
     * Creates the service.
     *
     * @param context what model calls share
     */
    public ModelAnswers(ModelContext context) {
        this.context = context;
        this.whole = new WholeAnswers(context);
    }

    /**
     * Answers a call.
     *
     * @param request the caller's request
     * @param work what placement knows of it
     * @param streamed whether the answer is streamed
     * @param reply the way back
     * @throws RefusedException when it is refused or fails before its answer began
     * @throws IOException when the caller is gone
     */
    public void answer(CallerRequest request, Work work, boolean streamed, CallerReply reply)
            throws RefusedException, IOException {
        EngineRequests requests = new EngineRequests(
                context.settings(),
                context.state().recorder(),
                work,
                request.head().path(),
                request.body());
        EnginePlaces places = new EnginePlaces(context, gate, work, request.body());
        if (streamed) {
            new StreamSession(context, requests, places, work, reply, request.arrivedAtMs()).run();
        } else {
            whole.serve(work, requests, places, reply);
        }
    }
}
