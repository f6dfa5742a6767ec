/** Calls of plain services: tickets, calls that run at most once, and their repeatable kin. */
package org.ibissaddle.daemon.once;
