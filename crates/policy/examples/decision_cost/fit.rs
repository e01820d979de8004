//! Least-squares fits of a figure in the number of endpoints.

/// How a figure grows with the number of endpoints, by the loops that it comes from.
#[derive(Clone, Copy)]
pub enum Growth {
    /// A base and a part for each endpoint.
    Linear,
    /// A base and the cost of a sort.
    Sort,
    /// A part for each endpoint and one for each pair of endpoints.
    Square,
}

impl Growth {
    /// The form, as it stands in the report.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Linear => "a + b*n",
            Self::Sort => "a + b*n*log2(n)",
            Self::Square => "a*n + b*n^2",
        }
    }

    /// The two terms whose factors are fitted.
    fn terms(self, endpoints: f64) -> (f64, f64) {
        match self {
            Self::Linear => (1.0, endpoints),
            Self::Sort => (1.0, endpoints * endpoints.log2()),
            Self::Square => (endpoints, endpoints * endpoints),
        }
    }
}

/// The factors of a growth's two terms.
pub struct Fit {
    pub growth: Growth,
    pub factors: (f64, f64),
}

impl Fit {
    /// Fitted so that the sum of the squares of relative errors is least: rows differ by orders of magnitude.
    pub fn new(growth: Growth, points: &[(f64, f64)]) -> Self {
        // Divided by its figure, each point has to give one.
        let scaled = |&(endpoints, figure): &(f64, f64)| {
            let (first, second) = growth.terms(endpoints);
            (first / figure, second / figure)
        };
        let terms: Vec<(f64, f64)> = points.iter().map(scaled).collect();
        let sum = |product: fn(&(f64, f64)) -> f64| terms.iter().map(product).sum::<f64>();
        let (first, second) = (sum(|t| t.0), sum(|t| t.1));
        let (squares, mixed, second_squares) =
            (sum(|t| t.0 * t.0), sum(|t| t.0 * t.1), sum(|t| t.1 * t.1));
        let determinant = squares * second_squares - mixed * mixed;
        let factors = (
            (first * second_squares - second * mixed) / determinant,
            (second * squares - first * mixed) / determinant,
        );
        Self { growth, factors }
    }

    fn at(&self, endpoints: f64) -> f64 {
        let (first, second) = self.growth.terms(endpoints);
        self.factors.0 * first + self.factors.1 * second
    }

    /// By how many per cent of a figure the fit is above it.
    pub fn error(&self, (endpoints, figure): (f64, f64)) -> f64 {
        100.0 * (self.at(endpoints) - figure) / figure
    }
}
