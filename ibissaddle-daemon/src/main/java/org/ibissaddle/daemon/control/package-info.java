/** The control port on Jooby: the ask step, operators, peers. */
package org.ibissaddle.daemon.control;
