//! Plain services: calls are passed through; load is reported at `GET /service/load` in the shape
//! of [`crate::engine::wire::Load`].
