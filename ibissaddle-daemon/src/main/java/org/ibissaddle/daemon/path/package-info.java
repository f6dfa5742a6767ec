/** The way of a request through its stages: admit, bind, place, dispatch, relay, account. */
package org.ibissaddle.daemon.path;
