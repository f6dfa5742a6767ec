package org.ibissaddle.membership;

/** What is believed of a member, in order of precedence within one refutation count. */
public enum MemberState {
    /** Answers. */
    ALIVE,
    /** Did not answer somebody; it may refute that. */
    SUSPECT,
    /** Was suspected and did not refute in time. */
    DOWN
}
