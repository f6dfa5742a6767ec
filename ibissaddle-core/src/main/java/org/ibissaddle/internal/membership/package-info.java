/** Tables and queues behind the membership; used through {@code org.ibissaddle.membership}. */
package org.ibissaddle.internal.membership;
