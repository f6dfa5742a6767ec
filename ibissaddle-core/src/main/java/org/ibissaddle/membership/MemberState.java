package org.ibissaddle.membership;

/** State of a member in the membership view. Within one refutation count, a later constant takes precedence. */
public enum MemberState {
    /** The member answers. */
    ALIVE,
    /** The member did not answer at least one instance; it can refute the suspicion. */
    SUSPECT,
    /** The member was suspected and did not refute the suspicion in time. */
    DOWN
}
